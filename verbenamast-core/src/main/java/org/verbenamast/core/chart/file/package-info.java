/** Loads charts from JSON files, with all checks. Begin with {@link org.verbenamast.core.chart.file.ChartReader}. */
package org.verbenamast.core.chart.file;
