//! What an entry instance meets.

use std::rc::Rc;

use slog::Logger;

use crate::{
    config::Current,
    peer::Link,
    platform::{List, Store, Table},
    target::Client,
};

/// What an entry instance meets.
#[derive(Clone)]
pub struct Dependencies {
    /// Platform's table.
    pub table: Rc<dyn Table>,
    /// Platform's object store.
    pub object_store: Rc<dyn Store>,
    /// Platform's instance list.
    pub instance_list: Rc<dyn List>,
    /// Targets.
    pub target_client: Rc<dyn Client>,
    /// Other entry instances.
    pub link: Rc<dyn Link>,
    /// Configuration in force.
    pub config: Rc<Current>,
    /// Log.
    pub log: Logger,
}
