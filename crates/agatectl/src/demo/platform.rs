//! The platform of the demo: engines, plain services and the configuration service.

use std::net::SocketAddr;

use agateflow::unit;
use agateflow_standin::configuration::Configuration;
use agateflow_standin::engine::{Engine, Fencing, Options, Speed};
use agateflow_standin::service::Service;

use crate::error::Error;

/// Key of the fleet's configuration.
pub const KEY: &str = "fleet";

/// Time that a plain service takes for a call.
const SERVICE_TIME: unit::Millis = unit::Millis::new(30);

/// Class of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The faster hardware.
    Newer,
    /// The slower hardware.
    Older,
}

impl Class {
    /// The class's name in the configuration.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Newer => "newer",
            Class::Older => "older",
        }
    }

    /// The speed of its engines.
    pub const fn speed(self) -> Speed {
        let sequence = unit::Micros::new(100);
        match self {
            Class::Newer => Speed { prefill: 20_000, step: unit::Micros::new(10_000), sequence },
            Class::Older => Speed { prefill: 10_000, step: unit::Micros::new(18_000), sequence },
        }
    }
}

/// All stand-ins.
pub struct Platform {
    /// The engines, in the order in which they were started.
    pub engines: Vec<Engine>,
    /// The plain services, in the order in which they were started.
    pub services: Vec<Service>,
    /// The configuration service.
    pub configuration: Configuration,
}

impl Platform {
    /// Starts a platform without engines and services.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the configuration service cannot be started.
    pub fn start() -> Result<Self, Error> {
        let configuration = Configuration::start(any_port()).map_err(failed)?;
        Ok(Self { engines: Vec::new(), services: Vec::new(), configuration })
    }

    /// Starts one more engine and returns its address.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if it cannot be started.
    pub fn add_engine(&mut self, class: Class) -> Result<SocketAddr, Error> {
        let fencing = if class == Class::Newer { Fencing::Checked } else { Fencing::Ignored };
        let options = Options { speed: class.speed(), fencing, ..Options::default() };
        let engine = Engine::start(any_port(), options).map_err(failed)?;
        let address = engine.host().address();
        self.engines.push(engine);
        Ok(address)
    }

    /// Starts one more plain service and returns its address.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if it cannot be started.
    pub fn add_service(&mut self) -> Result<SocketAddr, Error> {
        let service = Service::start(any_port()).map_err(failed)?;
        service.host().faults().delay(SERVICE_TIME);
        let address = service.host().address();
        self.services.push(service);
        Ok(address)
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn failed(error: impl ToString) -> Error {
    Error::step("start stand-in", error)
}
