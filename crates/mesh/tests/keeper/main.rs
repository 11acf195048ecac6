//! The keys of a host: directed cases, and random walks of a whole deployment.

mod steps;
mod walk;
mod world;
