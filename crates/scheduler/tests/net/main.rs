//! Tests of the network code: tables of cases for the parsers, and a test on real sockets for each rule. All
//! addresses are on loopback with ports that the system chooses; no case depends on a short time limit being
//! met.
#![cfg(test)]

mod admin_interface;
mod client_connections;
mod client_disconnect;
mod connection_close;
mod descriptor_exhaustion;
mod disconnect_while_connecting;
mod discovery_watch;
mod drain_during_reload;
mod endpoint_lease;
mod forwarding;
mod fragmented_requests;
mod handover;
mod held_back_peers;
mod incomplete_transfers;
mod large_bodies;
mod large_fleet;
mod memory_bound;
mod mixed_rig;
mod node_connections;
mod node_states;
mod nvme;
mod parsers;
mod process;
mod receive_buffers;
mod rejected_requests;
mod repeated_ids;
mod request_writer;
mod shutdown;
mod shutdown_stall;
mod slow_answers;
mod slow_uploads;
mod support;
mod unread_answers;
