package org.verbenamast.core.rows;

import java.util.OptionalLong;

import org.verbenamast.core.check.Checks;

/**
 * The era of the store as its answers tell it: the highest one of all answers. Answers of lower eras are out of date.
 *
 * @param number the highest era told; 0 as long as none was
 */
public record StoreEra(long number) {

    /** The era of a store that has told none. */
    public static final StoreEra NONE = new StoreEra(0);

    /** Checks the bounds of the number. */
    public StoreEra {
        Checks.within("number", number, 0, StoreVersion.MAX_ERA);
    }

    /**
     * Returns the era after an answer.
     *
     * @param told the era that the answer tells; empty if it tells none
     * @return the higher one of this era and that of the answer
     */
    public StoreEra after(OptionalLong told) {
        return told.isPresent() && told.getAsLong() > number ? new StoreEra(told.getAsLong()) : this;
    }

    /**
     * Returns whether an answer is to be used. One that tells no era counts as of this one.
     *
     * @param told the era that the answer tells; empty if it tells none
     * @return false if the answer is of a lower era
     */
    public boolean accepts(OptionalLong told) {
        return told.isEmpty() || told.getAsLong() >= number;
    }

    /**
     * Returns whether a transaction may be sent, or its answer be believed: its conditions are versions of this era.
     *
     * @param commit the transaction
     * @return false if a condition names a version of another era, which may have been given out again
     */
    public boolean covers(StoreEffect.Commit commit) {
        return commit.changes().stream()
                .mapToLong(RowChange::expectedVersion)
                .allMatch(version ->
                        version == 0 || StoreVersion.ofPacked(version).era() == number);
    }
}
