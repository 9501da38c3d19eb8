//! External services of an entry instance.

use std::rc::Rc;

use slog::Logger;

use crate::{
    config::LocalConfig,
    http::Budget,
    peer::Link,
    platform::{List, Store, Table},
    target::Client,
};

/// External services of an entry instance.
#[derive(Clone)]
pub struct Dependencies {
    /// Table of the platform.
    pub table: Rc<dyn Table>,
    /// Object store of the platform.
    pub object_store: Rc<dyn Store>,
    /// Instance list of the platform.
    pub instance_list: Rc<dyn List>,
    /// Client for targets.
    pub target_client: Rc<dyn Client>,
    /// Connection to other entry instances.
    pub link: Rc<dyn Link>,
    /// Configuration in force.
    pub config: Rc<LocalConfig>,
    /// What callers hold.
    pub callers: Budget,
    /// Logger.
    pub log: Logger,
}
