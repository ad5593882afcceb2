/// One of the two lists as an operator wrote it, under the name that errors call it by.
#[derive(Clone, Copy, Debug)]
pub struct ListFile<'file> {
    /// The name, for instance a path.
    pub name: &'file str,
    /// The YAML text.
    pub yaml: &'file str,
}
