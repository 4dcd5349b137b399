//! Runs sedgerun's decision module on a simulator's wire protocol: [`wire`] is the codec, and the program
//! `sedgerun-adapter` connects it to standard input and output.

pub mod wire;
