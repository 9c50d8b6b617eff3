package org.verbenamast.core.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * The stored row of a chunk: a group of consecutive slices of one service, with their owners and loads.
 *
 * @param service the service
 * @param chunk the chunk's number
 * @param grants the grant of each slice, by its position in the chunk
 * @param heats the load of each slice, by its position in the chunk: a multiple of the load of an average slice, at
 *     least 1; the name is that of the stored field
 * @param operation the id of the operation that wrote the row
 */
public record ChunkRow(ServiceName service, int chunk, List<SliceGrant> grants, List<Integer> heats, String operation)
        implements RowValue {

    /** Checks the components and copies the lists. In a row without {@code heats}, each slice has load 1. */
    public ChunkRow {
        Objects.requireNonNull(service, "service");
        Checks.notNegative("chunk", chunk);
        grants = List.copyOf(grants);
        heats = heats == null ? defaultLoads(grants.size()) : List.copyOf(heats);
        Checks.within("number of heats", heats.size(), grants.size(), grants.size());
        heats.forEach(load -> Checks.positive("load of a slice", load));
        Objects.requireNonNull(operation, "operation");
    }

    /**
     * Creates a row in which each slice has load 1.
     *
     * @param service the service
     * @param chunk the chunk's number
     * @param grants the grant of each slice, by its position in the chunk
     * @param operation the id of the operation that wrote the row
     */
    public ChunkRow(ServiceName service, int chunk, List<SliceGrant> grants, String operation) {
        this(service, chunk, grants, defaultLoads(grants.size()), operation);
    }

    private static List<Integer> defaultLoads(int slices) {
        return Collections.nCopies(slices, 1);
    }

    /**
     * Returns the key under which a chunk's row is stored.
     *
     * @param service the service
     * @param chunk the chunk's number
     * @return the key
     */
    public static RowKey keyOf(ServiceName service, int chunk) {
        return new RowKey(TableName.CHUNKS, service.value() + "." + chunk);
    }

    /**
     * Creates the row of a chunk in which no slice was ever owned. Nodes assume it where the store has no row.
     *
     * @param service the service's settings
     * @param chunk the chunk's number
     * @return the row, whose operation is {@code none}
     */
    public static ChunkRow vacant(ServiceSettings service, int chunk) {
        List<SliceGrant> grants = new ArrayList<>();
        for (int i = 0; i < service.slicesIn(chunk); i++) {
            grants.add(SliceGrant.VACANT);
        }
        return new ChunkRow(service.name(), chunk, grants, "none");
    }

    /**
     * Returns a copy of this row with another grant of one slice.
     *
     * @param position the slice's position in the chunk
     * @param grant the new grant
     * @param writer the id of the operation that writes the row
     * @return the changed row
     */
    public ChunkRow with(int position, SliceGrant grant, String writer) {
        List<SliceGrant> next = new ArrayList<>(grants);
        next.set(position, grant);
        return new ChunkRow(service, chunk, next, heats, writer);
    }

    /**
     * Returns a copy of this row with another load of one slice.
     *
     * @param position the slice's position in the chunk
     * @param load the slice's load as a multiple of the load of an average slice
     * @param writer the id of the operation that writes the row
     * @return the changed row
     */
    public ChunkRow withLoad(int position, int load, String writer) {
        List<Integer> next = new ArrayList<>(heats);
        next.set(position, load);
        return new ChunkRow(service, chunk, grants, next, writer);
    }
}
