//! What two versions of the program say to each other, what operators type and read, and the counters line,
//! as bytes in files: each is compared or read byte for byte.
#![cfg(test)]

mod admin;
mod counters;
mod handover;
