//! Result of the measurement: fits over the sizes and values at the target size beside their goals.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use super::fit::Fit;
use super::point::{Point, Size, Usage};

/// The target: one of 7 data centres with 420 entries and 1,300 servers in all.
const TARGET: Size = Size { data_centres: 7, entries: 60, upstreams: 186, group: 8 };
const TARGET_PROCESSES: f64 = 1_720.0;
const LARGE_ENTRIES: usize = 20;
const CHANGES_PER_DAY: f64 = 1_300.0;
const DAY_SECONDS: f64 = 86_400.0;
const GOAL_PROCESSOR_PERCENT: f64 = 1.1;
const GOAL_BYTES: f64 = 29_000.0; // a second
const GOAL_MEMORY_BYTES: f64 = 32e6;
const GOAL_IN_FORCE_MS: f64 = 6_000.0;
const GOAL_START_CALLS: f64 = 2_000.0; // a second
const GOAL_CALLS: f64 = 200.0; // a second

/// Memory of the whole process while some sizes run in it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Memory {
    /// Processes of the fleet that run in it.
    pub members: usize,
    /// Sum over them of the number of members known to each.
    pub known: usize,
    /// Resident bytes.
    pub resident: u64,
}

impl Memory {
    /// The memory while `sizes` run.
    pub fn new(sizes: &[Size], resident: u64) -> Self {
        let members = sizes.iter().map(Size::members).sum();
        Self { members, known: sizes.iter().map(Size::known).sum(), resident }
    }
}

/// What was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Measured {
    /// Length of the configuration in bytes.
    pub document_bytes: usize,
    /// The sizes.
    pub points: Vec<Point>,
    /// Memory before the first round and during each one.
    pub memory: Vec<Memory>,
}

/// A fitted quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// What was fitted.
    pub quantity: Box<str>,
    /// Its unit.
    pub unit: &'static str,
    /// The fit.
    pub fit: Fit,
}

/// A value at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// What the value is of.
    pub quantity: Box<str>,
    /// Its unit.
    pub unit: &'static str,
    /// The value by the fits.
    pub value: f64,
    /// What it must not exceed.
    pub goal: f64,
    /// Whether it does not.
    pub met: bool,
}

/// The whole result.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was measured.
    pub measured: Measured,
    /// The fits.
    pub fits: Vec<Fitted>,
    /// The values at the target size.
    pub target: Vec<Target>,
}

fn entry_row(size: &Size) -> Vec<f64> {
    let (entries, upstreams) = (size.entries as f64, size.upstreams as f64);
    let others = size.data_centres as f64 - 1.0;
    vec![1.0, entries, upstreams, size.foreign_groups() as f64, others / entries]
}

fn upstream_row(size: &Size) -> Vec<f64> {
    vec![1.0, size.entries as f64]
}

fn change_row(size: &Size) -> Vec<f64> {
    let entries = size.entries as f64;
    vec![1.0, size.upstreams as f64 / entries, 1.0 / entries]
}

fn members_row(size: &Size) -> Vec<f64> {
    vec![1.0, (size.entries + size.upstreams) as f64]
}

/// The terms of a fit, and their values at a size.
type Rows<'a> = (&'a [&'a str], fn(&Size) -> Vec<f64>);

/// The rows of one role and the terms that they hold.
struct Role {
    name: &'static str,
    terms: &'static [&'static str],
    row: fn(&Size) -> Vec<f64>,
    usage: fn(&Point) -> &Usage,
}

const ROLES: [Role; 2] = [
    Role {
        name: "entry",
        terms: &["1", "entries", "upstreams", "foreign groups", "other data centres / entries"],
        row: entry_row,
        usage: |point| &point.entry,
    },
    Role {
        name: "upstream process",
        terms: &["1", "entries"],
        row: upstream_row,
        usage: |point| &point.upstream,
    },
];

impl Report {
    /// Fits what was `measured`.
    pub fn new(measured: Measured) -> Self {
        let mut report = Self { measured, fits: Vec::new(), target: Vec::new() };
        for role in &ROLES {
            report.add_role(role);
        }
        report.add_memory();
        report.add_times();
        report
    }

    /// Whether every value at the target size meets its goal.
    pub fn is_met(&self) -> bool {
        self.target.iter().all(|target| target.met)
    }

    fn fit(
        &mut self,
        quantity: String,
        unit: &'static str,
        rows: Rows<'_>,
        value: &dyn Fn(&Point) -> f64,
    ) -> f64 {
        let (terms, row) = rows;
        let points = &self.measured.points;
        let matrix: Vec<_> = points.iter().map(|point| row(&point.size)).collect();
        let values: Vec<_> = points.iter().map(value).collect();
        let fit = Fit::new(terms, &matrix, &values);
        let at_target = fit.at(&row(&TARGET));
        self.fits.push(Fitted { quantity: quantity.into(), unit, fit });
        at_target
    }

    fn add_target(&mut self, quantity: String, unit: &'static str, value: f64, goal: f64) {
        let met = value <= goal;
        self.target.push(Target { quantity: quantity.into(), unit, value, goal, met });
    }

    fn worst(&self, value: impl Fn(&Point) -> f64) -> f64 {
        self.measured.points.iter().map(value).fold(0.0, f64::max)
    }

    fn add_role(&mut self, role: &Role) {
        let (name, usage, rows) = (role.name, role.usage, (role.terms, role.row));
        let changes = CHANGES_PER_DAY / DAY_SECONDS;
        let processor = self.fit(format!("{name}: processor"), "% of a core", rows, &|point| {
            usage(point).processor_percent
        });
        let sent = self.fit(format!("{name}: sent"), "B/s", rows, &|point| usage(point).sent);
        let received =
            self.fit(format!("{name}: received"), "B/s", rows, &|point| usage(point).received);
        let mean = |point: &Point| usage(point).sent + usage(point).received;
        // In a small data centre few share what passes between data centres.
        let large = |point: &&Point| point.size.entries >= LARGE_ENTRIES;
        let ratios = self.measured.points.iter().filter(large);
        let ratio = ratios.map(|point| usage(point).busiest / mean(point)).fold(1.0, f64::max);
        let change_ms = self.worst(|point| usage(point).change_processor_ms);
        let rows: Rows<'_> = (&["1", "upstreams / entries", "1 / entries"], change_row);
        let change_bytes = self
            .fit(format!("{name}: for a change"), "B", rows, &|point| usage(point).change_bytes);
        let change_busiest =
            self.fit(format!("{name}: for a change, busiest"), "B", rows, &|point| {
                usage(point).change_busiest
            });
        let processor = processor + change_ms * changes / 10.0;
        let bytes = sent + received + change_bytes * changes;
        let busiest = (sent + received) * ratio + change_busiest * changes;
        let processor_unit = "% of a core";
        self.add_target(
            format!("{name}: processor"),
            processor_unit,
            processor,
            GOAL_PROCESSOR_PERCENT,
        );
        self.add_target(format!("{name}: sent and received, mean"), "B/s", bytes, GOAL_BYTES);
        self.add_target(format!("{name}: sent and received, busiest"), "B/s", busiest, GOAL_BYTES);
    }

    /// Two bounds: one process alone with its runtime, and the process's share of the largest round
    /// on top of the tool before any process ran.
    fn add_memory(&mut self) {
        let memory = &self.measured.memory;
        let alone = memory.iter().find(|m| m.members == 1).map_or(0, |m| m.resident);
        let base = memory.first().map_or(0, |m| m.resident);
        let share = |m: &Memory| m.resident.saturating_sub(base) as f64 / m.members.max(1) as f64;
        let share = memory.iter().filter(|m| m.members > 1).map(share).fold(0.0, f64::max);
        let quantity = "one process: memory, alone";
        self.add_target(quantity.into(), "B", alone as f64, GOAL_MEMORY_BYTES);
        let quantity = "one process: memory, share of a data centre";
        self.add_target(quantity.into(), "B", base as f64 + share, GOAL_MEMORY_BYTES);
    }

    fn add_times(&mut self) {
        let rows: Rows<'_> = (&["1", "processes of a data centre"], members_row);
        let worst = |point: &Point| point.in_force_ms.iter().copied().max().unwrap_or(0) as f64;
        let in_force = self.fit("change in force everywhere".into(), "ms", rows, &worst);
        self.add_target("change in force everywhere".into(), "ms", in_force, GOAL_IN_FORCE_MS);
        let rows: Rows<'_> = (&["1", "data centres"], |size| vec![1.0, size.data_centres as f64]);
        let calls = self.fit("calls to the service".into(), "1/s", rows, &|point| point.calls);
        self.add_target("calls to the service".into(), "1/s", calls, GOAL_CALLS);
        let per_process = |p: &Point| p.start_peak as f64 / p.size.members() as f64;
        let peak = self.worst(per_process) * TARGET_PROCESSES;
        let quantity = "calls in the busiest second of a start of all processes";
        self.add_target(quantity.into(), "1/s", peak, GOAL_START_CALLS);
    }

    /// The tables of the capacity page.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "At the target size, by the fits:\n")?;
        writeln!(text, "| quantity | value | goal | met |\n|---|---:|---:|---|")?;
        for target in &self.target {
            let met = if target.met { "yes" } else { "**no**" };
            let Target { quantity, unit, .. } = target;
            let (value, goal) = (number(target.value), number(target.goal));
            writeln!(text, "| {quantity} | {value} {unit} | {goal} {unit} | {met} |")?;
        }
        writeln!(text, "\nFits (least squares), with the largest residual of any point:\n")?;
        writeln!(text, "| quantity | fit | residual |\n|---|---|---:|")?;
        for fitted in &self.fits {
            let fit = &fitted.fit;
            let products = fit.coefficients.iter().zip(&fit.terms);
            let products: Vec<_> =
                products.map(|(c, term)| format!("{} × {term}", number(*c))).collect();
            let (quantity, unit) = (&fitted.quantity, fitted.unit);
            let (sum, worst) = (products.join(" + "), number(fit.worst()));
            writeln!(text, "| {quantity} ({unit}) | {sum} | {worst} |")?;
        }
        self.write_points(text)
    }

    fn write_points(&self, text: &mut String) -> std::fmt::Result {
        let bytes = self.measured.document_bytes;
        writeln!(text, "\nMeasured, with a configuration of {bytes} bytes:\n")?;
        writeln!(
            text,
            "| data centres × (entries + upstreams) | entry % | entry B/s in, out | upstream % | \
             upstream B/s in, out | in force, ms | start: ready ms, calls, peak 1/s | calls 1/s | \
             change: entry ms, B | suspected |"
        )?;
        writeln!(text, "|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|")?;
        for point in &self.measured.points {
            let Size { data_centres, entries, upstreams, .. } = point.size;
            let flow = |usage: &Usage| format!("{:.0}, {:.0}", usage.received, usage.sent);
            let times: Vec<_> = point.in_force_ms.iter().map(ToString::to_string).collect();
            writeln!(
                text,
                "| {data_centres} × ({entries} + {upstreams}) | {:.3} | {} | {:.3} | {} | {} | \
                 {}, {}, {} | {:.2} | {:.1}, {:.0} | {} |",
                point.entry.processor_percent,
                flow(&point.entry),
                point.upstream.processor_percent,
                flow(&point.upstream),
                times.join(", "),
                point.ready_ms,
                point.start_calls,
                point.start_peak,
                point.calls,
                point.entry.change_processor_ms,
                point.entry.change_bytes,
                point.suspected,
            )?;
        }
        Ok(())
    }
}

fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
