//! Ids of table rows, and numbers of layers and versions. An id is the index of a row in its table
//! of one bundle.

/// Index of an availability zone.
pub type ZoneId = u16;
/// Index of an accelerator kind.
pub type KindId = u16;
/// Index of a model.
pub type ModelId = u16;
/// Index of an adapter within its model.
pub type AdapterId = u16;
/// Index of an endpoint.
pub type EndpointId = u32;
/// Index of a plain service.
pub type ServiceId = u16;
/// Index of a priority; 0 is the most urgent priority.
pub type PriorityId = u8;
/// Index of a team.
pub type TeamId = u16;
/// Number of a layer within its model.
pub type Layer = u16;
/// Number of a bundle version: the number of its parent plus one, and 1 for the first version.
pub type Number = u64;
