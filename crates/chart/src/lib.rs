//! An interpreter for state charts in JSON.
//!
//! A chart maps a state and an event to the next state; the code that feeds the events gives the
//! states their meaning. Charts are separate files, so that an operator can read the life cycle of
//! a target without reading code.

use std::collections::HashMap;

use displaydoc::Display;
use serde::Deserialize;
use thiserror::Error;

/// A validated state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    initial: usize,
    states: Vec<String>,
    transitions: HashMap<(usize, String), usize>,
}

/// A running instance of a [`Chart`].
#[derive(Debug, Clone)]
pub struct Machine {
    chart: Chart,
    state: usize,
}

/// The reason for which a chart is rejected.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the chart is not valid JSON: {0}
    Syntax(#[from] serde_json::Error),
    /// state {0:?} is used but not listed under "states"
    Unknown(String),
    /// state {0:?} has two transitions for event {1:?}
    Ambiguous(String, String),
}

/// The effect of an event on a [`Machine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The state changed.
    Changed,
    /// The chart has no transition to another state for the event, so nothing changed.
    Unchanged,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Definition {
    initial: String,
    states: Vec<String>,
    transitions: Vec<Transition>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition {
    from: Vec<String>,
    on: String,
    to: String,
}

impl Chart {
    /// Parses and validates a chart.
    ///
    /// # Errors
    /// Fails on malformed JSON, on a state that is not listed and on an ambiguous transition.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let definition: Definition = serde_json::from_str(text)?;
        let index = |name: &str| {
            definition
                .states
                .iter()
                .position(|state| state == name)
                .ok_or_else(|| Error::Unknown(name.to_owned()))
        };
        let mut transitions = HashMap::new();
        for transition in &definition.transitions {
            let to = index(&transition.to)?;
            for from in &transition.from {
                let key = (index(from)?, transition.on.clone());
                if transitions.insert(key, to).is_some() {
                    return Err(Error::Ambiguous(from.clone(), transition.on.clone()));
                }
            }
        }
        Ok(Self {
            initial: index(&definition.initial)?,
            states: definition.states,
            transitions,
        })
    }

    /// Creates an instance in the initial state.
    #[must_use]
    pub fn start(&self) -> Machine {
        Machine {
            state: self.initial,
            chart: self.clone(),
        }
    }
}

impl Machine {
    /// Returns the name of the current state.
    #[must_use]
    pub fn state(&self) -> &str {
        &self.chart.states[self.state]
    }

    /// Processes an event.
    pub fn handle(&mut self, event: &str) -> Step {
        let Some(&next) = self.chart.transitions.get(&(self.state, event.to_owned())) else {
            return Step::Unchanged;
        };
        if next == self.state {
            return Step::Unchanged;
        }
        self.state = next;
        Step::Changed
    }
}
