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
 * The row that holds the owners of a group of slices.
 *
 * @param service the service
 * @param chunk the group's number
 * @param grants who owns each slice, by its position in the group
 * @param heats how many ordinary slices each slice counts as, by its position in the group; at least 1 each
 * @param operation the id of the operation that wrote the row
 */
public record ChunkRow(ServiceName service, int chunk, List<SliceGrant> grants, List<Integer> heats, String operation)
        implements RowValue {

    /** Checks the parts and copies the lists. A row without heats has ordinary slices. */
    public ChunkRow {
        Objects.requireNonNull(service, "service");
        Checks.notNegative("chunk", chunk);
        grants = List.copyOf(grants);
        heats = heats == null ? defaultLoads(grants.size()) : List.copyOf(heats);
        Checks.within("heats", heats.size(), grants.size(), grants.size());
        heats.forEach(heat -> Checks.positive("heat", heat));
        Objects.requireNonNull(operation, "operation");
    }

    /**
     * Makes a chunk of ordinary slices.
     *
     * @param service the service
     * @param chunk the group's number
     * @param grants who owns each slice, by its position in the group
     * @param operation the id of the operation that wrote the row
     */
    public ChunkRow(ServiceName service, int chunk, List<SliceGrant> grants, String operation) {
        this(service, chunk, grants, defaultLoads(grants.size()), operation);
    }

    private static List<Integer> defaultLoads(int slices) {
        return Collections.nCopies(slices, 1);
    }

    /**
     * Returns the key of a chunk's row.
     *
     * @param service the service
     * @param chunk the chunk's number
     * @return the key
     */
    public static RowKey keyOf(ServiceName service, int chunk) {
        return new RowKey(TableName.CHUNKS, service.value() + "." + chunk);
    }

    /**
     * Returns a chunk in which no slice was ever owned.
     *
     * @param service the service's settings
     * @param chunk the chunk's number
     * @return the chunk
     */
    public static ChunkRow vacant(ServiceSettings service, int chunk) {
        List<SliceGrant> grants = new ArrayList<>();
        for (int i = 0; i < service.slicesIn(chunk); i++) {
            grants.add(SliceGrant.VACANT);
        }
        return new ChunkRow(service.name(), chunk, grants, "none");
    }

    /**
     * Returns this chunk with one grant changed.
     *
     * @param position the slice's position in the chunk
     * @param grant the new grant
     * @param writer the id of the operation that writes it
     * @return the changed chunk
     */
    public ChunkRow with(int position, SliceGrant grant, String writer) {
        List<SliceGrant> next = new ArrayList<>(grants);
        next.set(position, grant);
        return new ChunkRow(service, chunk, next, heats, writer);
    }

    /**
     * Returns this chunk with one heat changed.
     *
     * @param position the slice's position in the chunk
     * @param heat how many ordinary slices the slice counts as
     * @param writer the id of the operation that writes it
     * @return the changed chunk
     */
    public ChunkRow withLoad(int position, int heat, String writer) {
        List<Integer> next = new ArrayList<>(heats);
        next.set(position, heat);
        return new ChunkRow(service, chunk, grants, next, writer);
    }
}
