//! Stand-ins for the users' platform: its metadata store and an application instance, as its pages
//! describe them. They run inside the process of a test.

pub mod instance;
pub mod store;
