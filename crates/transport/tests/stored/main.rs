//! Compatibility tests of external text formats: the handover state that two versions of the program
//! exchange, the requests and replies of the admin interface, and the counters line. Each must match its
//! fixture byte for byte.
#![cfg(test)]

mod admin;
mod counters;
mod handover;
