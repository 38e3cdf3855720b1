/// A measured quantity at several sizes.
#[derive(Debug, Clone)]
pub(crate) struct Series {
    /// The measured quantity, with its unit.
    pub(crate) name: &'static str,
    /// The unit of the size, such as `teams`.
    pub(crate) per: &'static str,
    /// Pairs of size and value.
    pub(crate) points: Vec<(f64, f64)>,
    /// The size that the system is designed for.
    pub(crate) full_size: f64,
    /// The maximum of the value at that size, if there is one.
    pub(crate) limit: Option<f64>,
}

/// A linear fit of measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
}

impl Line {
    /// Fits a line by least squares; returns `None` for fewer than two different sizes.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || variance == 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>()
            / variance;
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the value at a size.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

impl Series {
    /// Returns the series as a row of the table in docs/CAPACITY.md.
    pub(crate) fn row(&self) -> String {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {}", format_short(*value)))
            .collect();
        let (slope, value) = match Line::fit(&self.points) {
            Some(line) => (format_short(line.slope), line.at(self.full_size)),
            None => ("-".to_owned(), f64::NAN),
        };
        let verdict = match self.limit {
            None => String::new(),
            Some(limit) if value <= limit => format!("{} (holds)", format_short(limit)),
            Some(limit) => format!("{} (exceeded)", format_short(limit)),
        };
        format!(
            "| {} | {} | {} | {slope} | {}: {} | {verdict} |",
            self.name,
            self.per,
            points.join(", "),
            self.full_size,
            format_short(value),
        )
    }
}

fn format_short(value: f64) -> String {
    if value != 0.0 && value.abs() < 0.01 {
        return format!("{value:.2e}");
    }
    if value.abs() >= 1000.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
