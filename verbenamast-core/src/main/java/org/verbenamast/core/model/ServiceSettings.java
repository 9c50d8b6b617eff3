package org.verbenamast.core.model;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * What every node knows of a service from its settings.
 *
 * @param name the service
 * @param keyed whether each key has one owner
 * @param slices the number of slices; fixed for the life of the service
 * @param chunkSlices the number of slices in one row of the table service
 * @param fenced whether the service's backend servers reject requests of an earlier epoch
 */
public record ServiceSettings(ServiceName name, boolean keyed, int slices, int chunkSlices, boolean fenced) {

    private static final int MAX_SLICES = 1 << 20;

    /** Checks the numbers. */
    public ServiceSettings {
        Objects.requireNonNull(name, "name");
        Checks.within("slices", slices, 1, MAX_SLICES);
        Checks.within("chunkSlices", chunkSlices, 1, slices);
    }

    /**
     * Returns the number of rows that hold the service's owners.
     *
     * @return the number of chunks
     */
    public int chunks() {
        return (slices + chunkSlices - 1) / chunkSlices;
    }

    /**
     * Returns the chunk that holds a slice.
     *
     * @param slice the slice's number
     * @return the chunk's number
     */
    public int chunkOf(int slice) {
        return slice / chunkSlices;
    }

    /**
     * Returns the number of slices in a chunk.
     *
     * @param chunk the chunk's number
     * @return the number of slices; fewer in the last chunk
     */
    public int slicesIn(int chunk) {
        return Math.min(chunkSlices, slices - chunk * chunkSlices);
    }

    /**
     * Finds the slice of a key.
     *
     * @param key the key
     * @return the slice
     */
    public SliceId sliceOf(String key) {
        return new SliceId(name, Math.floorMod(KeyHash.of(key), slices));
    }
}
