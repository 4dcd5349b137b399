//! The decisions of sedgerun on one simulator's wire: [`wire`] reads its frames and writes frames of actions.

pub mod wire;
