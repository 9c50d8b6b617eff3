package org.verbenamast.core.store;

/** The content of a row. Each type of row has one record that implements this interface. */
public interface RowValue {

    /**
     * Returns the id of the operation that wrote the row, by which a writer recognizes its own write.
     *
     * @return the unique id of the operation
     */
    String operation();
}
