//! The decisions of sedgerun on one simulator's wire: [`wire`] reads its frames and writes its replies.

pub mod wire;
