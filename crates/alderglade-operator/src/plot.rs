//! The burn report as a picture, by `plotters`.

use alderglade_core::slo::Burn;
use plotters::prelude::*;
use snafu::Snafu;
use std::path::{Path, PathBuf};

/// Why a picture can't be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("can't draw {}: {cause}", path.display()))]
pub struct Error {
    /// The file.
    path: PathBuf,
    /// What the drawing library said.
    cause: String,
}

/// Bars drawn at most.
const MOST_BARS: usize = 20;
const SIZE: (u32, u32) = (900, 420);

/// Draws how fast budgets burn: a bar for the fast and one for the slow window of each series.
///
/// # Errors
///
/// Where the file can't be written.
pub fn burn(path: &Path, burns: &[Burn]) -> Result<(), Error> {
    draw(path, burns).map_err(|cause| Error {
        path: path.to_path_buf(),
        cause: cause.to_string(),
    })
}

fn draw(path: &Path, burns: &[Burn]) -> Result<(), Box<dyn std::error::Error>> {
    let shown = &burns[..burns.len().min(MOST_BARS)];
    let highest = shown
        .iter()
        .map(|burn| burn.fast_burn.max(burn.slow_burn))
        .fold(1.5, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Budget burn (1 uses the budget up exactly)",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..shown.len().max(1) as f64, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc("burn rate")
        .draw()?;
    for (position, burn) in shown.iter().enumerate() {
        let at = position as f64;
        let bar = |left: f64, right: f64, height: f64, colour: RGBColor| {
            Rectangle::new([(at + left, 0.0), (at + right, height)], colour.filled())
        };
        chart.draw_series([
            bar(0.1, 0.45, burn.fast_burn, RED),
            bar(0.5, 0.85, burn.slow_burn, BLUE),
        ])?;
        let label = format!("{}/{}", burn.workspace, burn.class);
        chart.draw_series([Text::new(
            label,
            (at + 0.1, highest * 1.08),
            ("sans-serif", 11),
        )])?;
    }
    let line = [(0.0, 1.0), (shown.len().max(1) as f64, 1.0)];
    chart.draw_series(LineSeries::new(line, BLACK))?;
    area.present()?;
    Ok(())
}
