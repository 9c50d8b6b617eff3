package org.verbenamast.core.store;

/** What a row holds. Implemented by one record per table. */
public interface RowValue {

    /**
     * Returns the id of the operation that wrote the row, by which a writer recognises its own write.
     *
     * @return an id that no other operation has
     */
    String operation();
}
