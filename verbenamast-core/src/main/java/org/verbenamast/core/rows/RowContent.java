package org.verbenamast.core.rows;

/** The decoded content of a row: a member, a key map, a key lease or crash reports. */
public interface RowContent {}
