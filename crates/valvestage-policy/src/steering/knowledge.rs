//! What a balancer knows of routes and backend servers.

use super::backend_directory::BackendDirectory;
use super::route_map::RouteMap;

/// `Knowledge` is what placing and steering go by.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The configuration in force.
    pub routes: RouteMap,
    /// The backend servers.
    pub directory: BackendDirectory,
}

impl Knowledge {
    /// `is_complete` tells whether enough is known to place flows.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.version > 0 && self.directory.is_complete()
    }
}
