package org.verbenamast.core.model;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A node's settings of one service.
 *
 * @param name the service's name
 * @param keyed whether each key is owned by one node at a time
 * @param slices the number of slices into which the keys are hashed; it never changes while the service exists
 * @param chunkSlices the number of slices in a chunk, that is, in one row of the table service
 * @param fenced whether the service's backend servers reject requests of an epoch (fencing token) before the latest
 */
public record ServiceSettings(ServiceName name, boolean keyed, int slices, int chunkSlices, boolean fenced) {

    private static final int MAX_SLICES = 1 << 20;

    /** Checks the name and the ranges of the numbers. */
    public ServiceSettings {
        Objects.requireNonNull(name, "name");
        Checks.within("slices", slices, 1, MAX_SLICES);
        Checks.within("chunkSlices", chunkSlices, 1, slices);
    }

    /**
     * Returns the number of chunks, that is, of rows that store the owners of the service's slices.
     *
     * @return the number of chunks
     */
    public int chunks() {
        return (slices + chunkSlices - 1) / chunkSlices;
    }

    /**
     * Returns the chunk that contains a slice.
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
     * @return the number of slices, which may be smaller in the last chunk
     */
    public int slicesIn(int chunk) {
        return Math.min(chunkSlices, slices - chunk * chunkSlices);
    }

    /**
     * Returns the slice that a key belongs to.
     *
     * @param key the key
     * @return the slice
     */
    public SliceId sliceOf(String key) {
        return new SliceId(name, Math.floorMod(KeyHash.of(key), slices));
    }
}
