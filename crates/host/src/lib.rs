//! The host process: actix actors that connect the pure parts to the network.
