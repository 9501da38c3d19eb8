//! The table as text, as CSV and as a plot.

use std::error::Error;

use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, SVGBackend},
    series::LineSeries,
    style::{Color, Palette, Palette99, WHITE},
};

use crate::{row::Row, session::CONTENDERS};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 540);
/// Highest mean ratio that a plot shows.
const HIGHEST: f64 = 8.0;

/// Prints `rows` with aligned columns.
pub fn print(rows: &[Row]) {
    let mut lines = vec![Row::COLUMNS.map(str::to_owned)];
    lines.extend(rows.iter().map(Row::cells));
    let width = |column: usize| lines.iter().map(|it| it[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..Row::COLUMNS.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

/// `rows` as CSV; no cell holds a comma.
pub fn csv(rows: &[Row]) -> String {
    let mut lines = vec![Row::COLUMNS.join(",")];
    lines.extend(rows.iter().map(|it| it.cells().join(",")));
    lines.join("\n") + "\n"
}

/// Draws the mean ratio over the load without faults, one line for each
/// contender and deployment.
pub fn plot(rows: &[Row], file: &str) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.25..1.0, 1.0..HIGHEST)?;
    chart
        .configure_mesh()
        .x_desc("load")
        .y_desc("mean response ratio")
        .draw()?;
    for (index, (_, contender)) in CONTENDERS.iter().enumerate() {
        for deployment in ["guild", "calortec"] {
            let of_line = |it: &&Row| {
                it.condition == "ordinary"
                    && it.contender == *contender
                    && it.deployment == deployment
            };
            let point = |it: &Row| (it.load, it.figures.mean.min(HIGHEST));
            let points: Vec<(f64, f64)> = rows.iter().filter(of_line).map(point).collect();
            let color = Palette99::pick(index).stroke_width(2);
            chart
                .draw_series(LineSeries::new(points, color))?
                .label(format!("{contender}, {deployment}"))
                .legend(move |(x, y)| {
                    plotters::element::PathElement::new(
                        [(x, y), (x + 16, y)],
                        Palette99::pick(index).stroke_width(2),
                    )
                });
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
