//! Services of a process: looked up by name, drained in reverse order of their start.

use std::any::Any;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};

use indexmap::IndexMap;

/// Name of a service within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Name(&'static str);

impl Name {
    /// Creates a name; unique within the process once published.
    pub const fn new(name: &'static str) -> Self {
        Self(name)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Why a service was not found or not published.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No service is published under this name.
    #[error("find service {0}: none has started")]
    Missing(Name),
    /// The service's handle has another type.
    #[error("find service {0}: its handle has another type")]
    Type(Name),
    /// Another service has the name.
    #[error("publish service {0}: the name is taken")]
    Taken(Name),
}

type Handle = Arc<dyn Any + Send + Sync>;
type Drain = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Handles of a process's services, by name.
#[derive(Clone, Default)]
pub struct Registry {
    handles: Arc<RwLock<IndexMap<&'static str, Handle>>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes `handle` under `name`.
    ///
    /// # Errors
    ///
    /// [`Error::Taken`] if another handle has the name.
    pub fn publish<T: Any + Send + Sync>(&self, name: Name, handle: Arc<T>) -> Result<(), Error> {
        let mut handles = self.handles.write().unwrap_or_else(PoisonError::into_inner);
        if handles.contains_key(name.0) {
            return Err(Error::Taken(name));
        }
        handles.insert(name.0, handle);
        Ok(())
    }

    /// The handle published under `name`.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`], or [`Error::Type`] if the handle is not a `T`.
    pub fn find<T: Any + Send + Sync>(&self, name: Name) -> Result<Arc<T>, Error> {
        let handles = self.handles.read().unwrap_or_else(PoisonError::into_inner);
        let handle = handles.get(name.0).ok_or(Error::Missing(name))?;
        handle.clone().downcast().map_err(|_| Error::Type(name))
    }
}

/// Started services of a process, in order of their start.
#[derive(Default)]
pub struct Kernel {
    registry: Registry,
    drains: Vec<(Name, Drain)>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registry of the services started so far.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a started service. `drain` stops it after its work in progress has completed.
    ///
    /// # Errors
    ///
    /// [`Error::Taken`] if the name is taken.
    pub fn add<T: Any + Send + Sync>(
        &mut self,
        name: Name,
        handle: Arc<T>,
        drain: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), Error> {
        self.registry.publish(name, handle)?;
        self.drains.push((name, Box::pin(drain)));
        Ok(())
    }

    /// Drains all services, the last started first; calls `on_drained` after each.
    pub async fn drain(self, mut on_drained: impl FnMut(Name)) {
        for (name, drain) in self.drains.into_iter().rev() {
            drain.await;
            on_drained(name);
        }
    }
}
