/// The YAML text of one of the two lists, with the name that errors give it.
#[derive(Clone, Copy, Debug)]
pub struct ListFile<'file> {
    /// The name that errors give, for instance a path.
    pub name: &'file str,
    /// The YAML text.
    pub yaml: &'file str,
}
