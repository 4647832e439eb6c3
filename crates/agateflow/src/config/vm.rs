//! VMs, their roles, and classes of engine hardware.

use std::net;
use std::str;

use jsonc_parser::ast;
use serde::Serialize;

use super::quantity;
use super::read;
use crate::id;
use crate::unit;

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: id::DataCentre,
    /// The region that it is in.
    pub region: id::Region,
}

read::read_object!(DataCentre { name, region });

/// A class of engine hardware, as declared; measured values replace the declared ones in use.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: id::Class,
    /// Speed of a step relative to the other classes.
    pub speed: quantity::Speed,
    /// Prompt tokens processed per second.
    #[schemars(schema_with = "quantity::token_rate_schema")]
    pub prefill: quantity::TokenRate,
    /// Time of one step at an ordinary batch.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::micros_schema")]
    pub step: unit::Micros,
    /// Size of the prefix cache.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::tokens_schema")]
    pub cache: unit::Tokens,
    /// Requests that one engine runs at once.
    pub batch: Batch,
}

read::read_object!(Class { name, speed, prefill, step, cache, batch });

quantity::count! {
    /// A count of requests that an engine runs at once.
    Batch, 65536
}

/// A VM of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its name.
    pub name: id::Vm,
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Address at which its process listens to other processes of the system.
    pub address: net::SocketAddr,
    /// What it does.
    pub role: Role,
}

read::read_object!(Vm { name, data_centre, address, role });

/// What a VM does.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Role {
    /// Takes the requests of callers.
    Entry,
    /// Runs a model engine.
    Engine {
        /// Class of its hardware.
        class: id::Class,
        /// Whether its engine checks fencing numbers.
        fencing: Fencing,
        /// The models that it may load.
        models: Vec<id::Model>,
    },
    /// Runs a plain service.
    Service {
        /// The service.
        service: id::Service,
    },
}

impl read::Read for Role {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        let ast::Value::Object(object) = value else {
            return reader.wrong_type("an object", value);
        };
        match reader.field(object, "kind")? {
            Kind::Entry => {
                reader.object(value, &["kind"])?;
                Some(Role::Entry)
            }
            Kind::Engine => {
                reader.object(value, &["kind", "class", "fencing", "models"])?;
                let class = reader.field(object, "class");
                let fencing = reader.field(object, "fencing");
                let models = reader.field(object, "models");
                Some(Role::Engine { class: class?, fencing: fencing?, models: models? })
            }
            Kind::Service => {
                reader.object(value, &["kind", "service"])?;
                Some(Role::Service { service: reader.field(object, "service")? })
            }
        }
    }
}

enum Kind {
    Entry,
    Engine,
    Service,
}

impl str::FromStr for Kind {
    type Err = read::Unrecognized;

    fn from_str(text: &str) -> Result<Self, read::Unrecognized> {
        match text {
            "entry" => Ok(Kind::Entry),
            "engine" => Ok(Kind::Engine),
            "service" => Ok(Kind::Service),
            _ => Err(read::Unrecognized::new(text, "entry, engine, service")),
        }
    }
}

/// Whether an engine refuses an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses old orders.
    Checked,
    /// The engine carries out any order.
    Ignored,
}

impl str::FromStr for Fencing {
    type Err = read::Unrecognized;

    fn from_str(text: &str) -> Result<Self, read::Unrecognized> {
        match text {
            "checked" => Ok(Fencing::Checked),
            "ignored" => Ok(Fencing::Ignored),
            _ => Err(read::Unrecognized::new(text, "checked, ignored")),
        }
    }
}

read::read_text! {
    Kind: "a kind of role: entry, engine or service",
    Fencing: "checked or ignored",
}
