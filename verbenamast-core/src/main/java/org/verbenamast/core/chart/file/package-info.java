/** Loads charts from JSON files and checks them. Start with {@link org.verbenamast.core.chart.file.ChartReader}. */
package org.verbenamast.core.chart.file;
