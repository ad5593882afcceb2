use medlarspool_adapter::StoreRow;
use medlarspool_mesh::StorePosition;

/// The store's answer to a call that it carried out.
#[derive(Debug)]
pub(crate) struct StoreAnswer {
    /// Whether the table has more rows after the last one.
    pub(crate) has_more: bool,
    /// The store's newest transaction when it answered.
    pub(crate) position: StorePosition,
    pub(crate) rows: Vec<StoreRow>,
}
