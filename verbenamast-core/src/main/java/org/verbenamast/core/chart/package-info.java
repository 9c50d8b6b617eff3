/**
 * State charts: the interpreter, the instances that follow a chart, and their timers. Begin with {@link
 * org.verbenamast.core.chart.Chart}.
 */
package org.verbenamast.core.chart;
