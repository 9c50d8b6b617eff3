package org.verbenamast.core.rows;

/** What a row holds: a member, a key map or a lease. */
public interface RowContent {}
