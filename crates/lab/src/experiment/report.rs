//! Report of an experiment as a table with one column for each pair of policies.

use std::fmt::Write;

use serde::Serialize;

use super::metrics::{RunMetrics, SpanMetrics};

/// Width of the column of metric names, in characters.
const NAME_WIDTH: usize = 34;

/// Width of the column of a pair of policies, in characters.
const CELL_WIDTH: usize = 26;

/// Results of one scenario under every pair of policies.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Names of the queue and route policies, as `QUEUE+ROUTE`, and the metrics of the run.
    pub runs: Vec<(Box<str>, RunMetrics)>,
}

/// Results of an experiment with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the deployment.
    pub name: Box<str>,
    /// Seed of the simulation.
    pub seed: u64,
    /// Results of the scenarios in the order of the file.
    pub scenarios: Vec<ScenarioReport>,
}

impl ExperimentReport {
    /// Returns the report as a table with aligned columns.
    pub fn table(&self) -> String {
        let mut text = format!("{}, seed {}\n", self.name, self.seed);
        for scenario in &self.scenarios {
            text.push('\n');
            row(
                &mut text,
                &scenario.scenario,
                scenario.runs.iter().map(|(name, _)| name.to_string()),
            );
            scenario.write(&mut text);
        }
        text
    }
}

impl ScenarioReport {
    fn write(&self, text: &mut String) {
        self.write_span(text, "window", |run| &run.burst);
        self.write_span(text, "after", |run| &run.calm);
        let mut line = |name: &str, cell: &dyn Fn(&RunMetrics) -> String| {
            row(text, name, self.runs.iter().map(|(_, run)| cell(run)));
        };
        line("least floor kept in 30 s", &|run| {
            run.floor.as_ref().map_or("-".to_owned(), |floor| format!("{:.3}", floor.kept))
        });
        line("cost per million good tokens", &|run| format!("{:.3}", run.cost));
        line("usage off", &|run| percent(run.usage_off));
        line("endpoints lost to poison", &|run| run.poisoned.to_string());
        line("invariant violations", &|run| run.violations.to_string());
    }

    fn write_span(&self, text: &mut String, label: &str, span: fn(&RunMetrics) -> &SpanMetrics) {
        let mut line = |name: &str, cell: &dyn Fn(&SpanMetrics) -> String| {
            let cells = self.runs.iter().map(|(_, run)| cell(span(run)));
            row(text, &format!("{label}: {name}"), cells);
        };
        let classes = self.runs.first().map(|(_, run)| &run.burst.attainment);
        for class in classes.into_iter().flat_map(|classes| classes.keys()) {
            line(class, &|span| percent(span.attainment[class]));
        }
        line("top tier", &|span| percent(span.top_tier));
        line("top tier, best of any order", &|span| percent(span.top_tier_bound.known));
        line("the same, lengths unknown", &|span| percent(span.top_tier_bound.unknown));
        line("goodput, tokens/s", &|span| format!("{:.1}", span.goodput));
        line("throughput, tokens/s", &|span| format!("{:.1}", span.throughput));
        line("wasted tokens", &|span| percent(span.wasted));
        line("worst account of fair share", &|span| format!("{:.3}", span.worst_account()));
    }
}

fn row(text: &mut String, name: &str, cells: impl Iterator<Item = String>) {
    let _ = write!(text, "{name:<NAME_WIDTH$}");
    for cell in cells {
        let _ = write!(text, "{cell:>CELL_WIDTH$}");
    }
    text.push('\n');
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
