//! Checks between the parts of a configuration: names, addresses, keys, routes and groups.

use std::net;

use indexmap::{IndexMap, IndexSet};
use jsonc_parser::ast;

use super::read;
use super::select;
use super::{Group, KeyDigest, Rank, Role, Route, Vm};
use crate::id;

/// Lists whose elements each need their own text, below each place of the first pattern.
const UNIQUE: &[(&str, &str)] = &[
    ("", "data_centres/*/name"),
    ("", "classes/*/name"),
    ("", "vms/*/name"),
    ("", "models/*/name"),
    ("", "groups/*/name"),
    ("", "services/*/name"),
    ("", "routes/*/name"),
    ("", "teams/*/name"),
    ("models/*", "adapters/*"),
    ("groups/*", "ranks/*/name"),
    ("vms/*", "role/models/*"),
    ("teams/*", "models/*"),
    ("teams/*", "routes/*"),
];

/// Texts that name an element of a list, what they name, and the list.
const REFERENCES: &[(&str, &str, &str)] = &[
    ("vms/*/data_centre", "data centre", "data_centres/*/name"),
    ("vms/*/role/class", "class", "classes/*/name"),
    ("vms/*/role/models/*", "model", "models/*/name"),
    ("vms/*/role/service", "service", "services/*/name"),
    ("groups/*/model", "model", "models/*/name"),
    ("groups/*/ranks/*/vm", "VM", "vms/*/name"),
    ("routes/*/service", "service", "services/*/name"),
    ("teams/*/models/*", "model", "models/*/name"),
    ("teams/*/routes/*", "route", "routes/*/name"),
];

/// Checks a whole configuration. Parts that could not be read are left out.
pub(super) fn fleet(document: &ast::Value<'_>, reader: &mut read::Reader) {
    let root = select::Place::root(document);
    for (scope, pattern) in UNIQUE {
        let scopes = if scope.is_empty() { vec![root.clone()] } else { root.select(scope) };
        for scope in scopes {
            let texts = scope.select(pattern).into_iter();
            unique(reader, texts.filter_map(|p| Some((p.text()?.to_owned(), p))));
        }
    }
    for (pattern, what, list) in REFERENCES {
        references(reader, root.select(pattern), what, &root.select(list));
    }
    let vms = root.select("vms/*/address");
    reachable(reader, &vms);
    addresses(reader, vms);
    keys(reader, &root);
    routes(reader, &root);
    groups(reader, &root);
}

/// Reports each duplicate key.
fn unique<'v, 'a: 'v>(
    reader: &mut read::Reader,
    keyed: impl Iterator<Item = (String, select::Place<'v, 'a>)>,
) {
    let mut first = IndexMap::new();
    for (key, place) in keyed {
        if let Some(path) = first.get(&key) {
            let message = format!("{} is given twice, first at {path}", read::printable(&key));
            reader.report_at(&place.path, place.value, message);
        } else {
            first.insert(key, place.path);
        }
    }
}

fn references(
    reader: &mut read::Reader,
    places: Vec<select::Place<'_, '_>>,
    what: &str,
    list: &[select::Place<'_, '_>],
) {
    let known = list.iter().filter_map(select::Place::text).collect::<IndexSet<_>>();
    for place in places {
        match place.text() {
            Some(name) if !known.contains(name) => {
                let message = format!("there is no {what} {}", read::printable(name));
                reader.report_at(&place.path, place.value, message);
            }
            _ => {}
        }
    }
}

/// Reports each address whose port is 0.
pub(crate) fn reachable(reader: &mut read::Reader, places: &[select::Place<'_, '_>]) {
    for place in places {
        if place.read::<net::SocketAddr>().is_some_and(|a| a.port() == 0) {
            reader.report_at(&place.path, place.value, "port 0 cannot be reached");
        }
    }
}

/// Reports each duplicate address. Port 0 means any free port, so it may repeat.
pub(crate) fn addresses(reader: &mut read::Reader, places: Vec<select::Place<'_, '_>>) {
    let parsed = places.into_iter().filter_map(|p| Some((p.read::<net::SocketAddr>()?, p)));
    let fixed = parsed.filter(|(address, _)| address.port() != 0);
    unique(reader, fixed.map(|(address, place)| (address.to_string(), place)));
}

fn keys(reader: &mut read::Reader, root: &select::Place<'_, '_>) {
    let places = root.select("teams/*/keys/*").into_iter();
    unique(reader, places.filter_map(|p| Some((p.read::<KeyDigest>()?.to_string(), p))));
}

fn routes(reader: &mut read::Reader, root: &select::Place<'_, '_>) {
    let places = root.select("routes/*").into_iter();
    let keyed = places.filter_map(|place| {
        let route = place.read::<Route>()?;
        let path = place.select("path").pop()?;
        Some((format!("{} {}", route.method, route.path), path))
    });
    unique(reader, keyed);
}

fn groups(reader: &mut read::Reader, root: &select::Place<'_, '_>) {
    let vms = root.select("vms/*").into_iter().filter_map(|p| p.read::<Vm>());
    let vms = vms.map(|vm| (vm.name.clone(), vm)).collect::<IndexMap<_, _>>();
    let models = root.select("models/*/name");
    let models = models.iter().filter_map(select::Place::text).collect::<IndexSet<_>>();
    let mut homes = IndexMap::new();
    for place in root.select("groups/*") {
        if let Some(group) = place.read::<Group>() {
            slots(reader, &place, &group);
            for rank in place.select("ranks/*") {
                if models.contains(group.model.as_str()) {
                    ranks(reader, &rank, &group, &vms);
                }
                home(reader, &rank, &group.name, &mut homes);
            }
        }
    }
}

fn slots(reader: &mut read::Reader, place: &select::Place<'_, '_>, group: &Group) {
    if group.fits(group.ranks.len()) {
        return;
    }
    for slots in place.select("slots") {
        let (ranks, experts) = (group.ranks.len(), group.experts);
        let message =
            format!("{ranks} ranks with {} slots have no room for {experts} experts", group.slots);
        reader.report_at(&slots.path, slots.value, message);
    }
}

/// Reports a rank whose VM cannot run the group's model.
fn ranks(
    reader: &mut read::Reader,
    place: &select::Place<'_, '_>,
    group: &Group,
    vms: &IndexMap<id::Vm, Vm>,
) {
    let Some(vm) = place.read::<Rank>().and_then(|rank| vms.get(&rank.vm)) else {
        return;
    };
    let message = match &vm.role {
        Role::Engine { models, .. } if models.contains(&group.model) => return,
        Role::Engine { .. } => format!("VM {} may not load model {}", vm.name, group.model),
        Role::Entry | Role::Service { .. } => format!("VM {} runs no engine", vm.name),
    };
    for name in place.select("vm") {
        reader.report_at(&name.path, name.value, &message);
    }
}

/// Reports a rank whose VM runs ranks of an earlier group.
fn home(
    reader: &mut read::Reader,
    place: &select::Place<'_, '_>,
    group: &id::Group,
    homes: &mut IndexMap<id::Vm, id::Group>,
) {
    let Some(rank) = place.read::<Rank>() else {
        return;
    };
    let home = homes.entry(rank.vm).or_insert_with(|| group.clone());
    if home == group {
        return;
    }
    for name in place.select("vm") {
        let message = format!("the VM already runs ranks of group {home}");
        reader.report_at(&name.path, name.value, message);
    }
}
