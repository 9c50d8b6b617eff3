package org.verbenamast.core.rows;

/** The decoded content of a row: a member, a key map or a key lease. */
public interface RowContent {}
