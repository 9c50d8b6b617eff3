package org.verbenamast.core.chart;

/** The tags of charts whose states need no marks for the program. */
public enum NoTag {}
