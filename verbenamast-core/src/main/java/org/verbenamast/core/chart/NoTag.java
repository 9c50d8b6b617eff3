package org.verbenamast.core.chart;

/** The tag type of charts whose states have no tags. */
public enum NoTag {}
