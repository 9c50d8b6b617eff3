/**
 * State machines that are described in chart files: the interpreter, the instances of a chart, and their timers. Start
 * with {@link org.verbenamast.core.chart.Chart}.
 */
package org.verbenamast.core.chart;
