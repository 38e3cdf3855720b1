use plotters::prelude::*;

use super::{PHASE_DURATION, PHASES, Sample, WARM_UP_DURATION};
use crate::Result;
use crate::deployment::root;

/// Plots the time to first token of each prompt over the run, with lines between the phases.
pub(super) fn write(name: &str, samples: &[Sample]) -> Result<()> {
    let path = root().join("docs").join(format!("{name}.svg"));
    let area = SVGBackend::new(&path, (900, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let end = (WARM_UP_DURATION + PHASE_DURATION * (PHASES.len() as u32 - 1)).as_secs_f64();
    let times = |sample: &Sample| sample.first_token.map(|time| time.as_secs_f64() * 1000.0);
    let max_ms = samples.iter().filter_map(times).fold(100.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..max_ms)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("time to first token, ms")
        .draw()?;
    for (is_returning, label, color) in [(false, "first", RED), (true, "returning", BLUE)] {
        let points = samples
            .iter()
            .filter(|sample| sample.is_returning == is_returning)
            .filter_map(|sample| Some(Circle::new((sample.at, times(sample)?), 1, color.filled())));
        chart
            .draw_series(points)?
            .label(label)
            .legend(move |at| Circle::new(at, 3, color.filled()));
    }
    for (index, label) in PHASES.iter().enumerate().skip(1) {
        let at = (WARM_UP_DURATION + PHASE_DURATION * (index as u32 - 1)).as_secs_f64();
        chart.draw_series([PathElement::new([(at, 0.0), (at, max_ms)], BLACK)])?;
        let text = Text::new(*label, (at + 0.3, max_ms * 0.97), ("sans-serif", 14));
        chart.draw_series([text])?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(area.present()?)
}
