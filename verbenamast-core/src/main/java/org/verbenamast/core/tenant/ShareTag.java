package org.verbenamast.core.tenant;

/** The tags of the states of chart {@code cap-share}, a node's share of the caps. */
public enum ShareTag {
    /** The node mints its share itself. */
    MINTS
}
