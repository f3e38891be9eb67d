//! `ladderstage bundle …`

mod in_force;
mod roll;
mod status;
mod text;

pub use roll::roll;
pub use status::status;
pub use text::{check, diff, sign, verify};
