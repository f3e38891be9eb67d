//! Steps of samples over several nodes with real journals and data folders, stand-in engines and scorer, and an
//! in-memory network with faults.

mod chaos;
mod faults;
mod http;
mod nodes;
mod platform;
mod steps;
mod trainer;
