//! Lookups in a fleet, each linear in the list that it searches.

use super::{Class, Fleet, Group, KeyDigest, Method, Model, Role, Route, Team, Vm};
use crate::id;

impl Fleet {
    /// The team that a key belongs to.
    pub fn team_by_key(&self, key: &KeyDigest) -> Option<&Team> {
        self.teams.iter().find(|team| team.keys.contains(key))
    }

    /// The team of a name.
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// The VM of a name.
    pub fn vm(&self, name: &id::Vm) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.name == *name)
    }

    /// The class of a name.
    pub fn class(&self, name: &id::Class) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// The model of a name.
    pub fn model(&self, name: &id::Model) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// The entry VMs.
    pub fn entries(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.role == Role::Entry)
    }

    /// The engine VMs that may load a model.
    pub fn engines_of<'a>(&'a self, model: &'a id::Model) -> impl Iterator<Item = &'a Vm> {
        self.vms.iter().filter(|vm| match &vm.role {
            Role::Engine { models, .. } => models.contains(model),
            Role::Entry | Role::Service { .. } => false,
        })
    }

    /// The VMs that run a plain service.
    pub fn vms_of<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Vm> {
        self.vms.iter().filter(move |vm| match &vm.role {
            Role::Service { service: own } => own == service,
            Role::Entry | Role::Engine { .. } => false,
        })
    }

    /// The groups that serve a model.
    pub fn groups_of<'a>(&'a self, model: &'a id::Model) -> impl Iterator<Item = &'a Group> {
        self.groups.iter().filter(move |group| group.model == *model)
    }

    /// The group that a VM runs ranks of.
    pub fn group_of(&self, vm: &id::Vm) -> Option<&Group> {
        self.groups.iter().find(|group| group.ranks.iter().any(|rank| rank.vm == *vm))
    }

    /// The route of a request: an exact path goes before a prefix, a longer prefix before a shorter.
    pub fn route(&self, method: Method, path: &str) -> Option<&Route> {
        let own = self.routes.iter().filter(|route| route.method == method);
        let matching = own.filter_map(|route| Some((route.path.matches(path)?, route)));
        matching.max_by_key(|(length, _)| *length).map(|(_, route)| route)
    }
}
