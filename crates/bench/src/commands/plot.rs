//! Plots of goodput and wasted prefill by load.

use plotters::prelude::*;
use teaselshunt_bench::{Outcome, Policy};

use super::CommandError;

const SIZE_PX: (u32, u32) = (1100, 480);
const COLOURS: [RGBColor; 6] = [
    RGBColor(200, 30, 30),
    RGBColor(230, 150, 30),
    RGBColor(120, 120, 120),
    RGBColor(30, 120, 200),
    RGBColor(30, 150, 60),
    BLACK,
];

fn plot_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Usage(format!("the plot cannot be drawn: {error}"))
}

/// Draws one curve for each policy: goodput on the left and wasted prefill on the right.
pub(crate) fn plot(file: &str, title: &str, curves: &[(Policy, Vec<Outcome>)]) -> Result<(), CommandError> {
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let (left, right) = root.split_horizontally(SIZE_PX.0 / 2);
    draw(&left, &format!("{title}: answers within both targets a second"), curves, |o| o.goodput)?;
    draw(&right, &format!("{title}: prefill wasted, %"), curves, |o| o.wasted * 100.0)?;
    root.present().map_err(plot_error)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    curves: &[(Policy, Vec<Outcome>)],
    value: fn(&Outcome) -> f64,
) -> Result<(), CommandError> {
    let points = curves.iter().flat_map(|(_, outcomes)| outcomes);
    let y_max = points.clone().map(value).fold(1.0, f64::max) * 1.1;
    let x_max = points.map(|o| o.load).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(plot_error)?;
    chart.configure_mesh().x_desc("load").draw().map_err(plot_error)?;
    for ((policy, outcomes), colour) in curves.iter().zip(COLOURS) {
        let line = LineSeries::new(outcomes.iter().map(|o| (o.load, value(o))), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(plot_error)?
            .label(format!("{policy:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw().map_err(plot_error)
}
