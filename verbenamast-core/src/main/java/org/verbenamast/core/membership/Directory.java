package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.TableName;
import org.verbenamast.core.table.Marks;
import org.verbenamast.core.table.TableIndex;
import org.verbenamast.core.table.TableRow;

/** The rows of the table service that a node knows. A row is only ever replaced by a later version. */
public final class Directory {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<MemberId, MemberRow> members = new TreeMap<>();
    private final Map<ServiceName, ServiceSettings> services = new HashMap<>();
    private final TableIndex table = new TableIndex();
    private final Marks marks = new Marks();

    /**
     * Makes an empty directory.
     *
     * @param services all services of the fleet
     */
    public Directory(List<ServiceSettings> services) {
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Learns a row.
     *
     * @param row the row
     * @return whether it is later than what was known
     */
    public boolean learn(Row row) {
        Row known = rows.get(row.key());
        if (known != null && known.version() >= row.version()) {
            return false;
        }
        rows.put(row.key(), row);
        if (row.key().table() == TableName.MEMBERS) {
            MemberRow member = (MemberRow) row.value();
            members.put(member.id(), member);
        } else if (row.key().table() == TableName.TABLE) {
            table.learn((TableRow) row.value());
        }
        return true;
    }

    /**
     * Returns the services of the fleet.
     *
     * @return their settings
     */
    public Collection<ServiceSettings> services() {
        return services.values();
    }

    /**
     * Returns the operators' table in force.
     *
     * @return the weights and limits
     */
    public TableIndex table() {
        return table;
    }

    /**
     * Returns what operators have taken out of service.
     *
     * @return the marks
     */
    public Marks marks() {
        return marks;
    }

    /**
     * Finds a row.
     *
     * @param key the key
     * @return the row, or null where none is known
     */
    public Row row(RowKey key) {
        return rows.get(key);
    }

    /**
     * Returns the version that is known of a row.
     *
     * @param key the key
     * @return the version, or 0 where none is known
     */
    public long version(RowKey key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    /**
     * Returns all rows that are known.
     *
     * @return the rows
     */
    public Collection<Row> rows() {
        return rows.values();
    }

    /**
     * Finds a member.
     *
     * @param id the member
     * @return its row, or null where none is known
     */
    public MemberRow member(MemberId id) {
        return members.get(id);
    }

    /**
     * Returns all members that are known, in the order of their ids.
     *
     * @return the members' rows
     */
    public Collection<MemberRow> members() {
        return members.values();
    }

    /**
     * Lists the members of a service that may be given work, in the order of their ids.
     *
     * @param service the service
     * @return the members' rows
     */
    public List<MemberRow> activeMembers(ServiceName service) {
        List<MemberRow> active = new ArrayList<>();
        for (MemberRow member : members.values()) {
            if (member.status().takesSlices() && member.service().equals(service)) {
                active.add(member);
            }
        }
        return active;
    }

    /**
     * Finds a chunk.
     *
     * @param service the service's settings
     * @param chunk the chunk's number
     * @return the chunk as it is known; vacant where no row is known
     */
    public ChunkRow chunk(ServiceSettings service, int chunk) {
        Row row = rows.get(ChunkRow.keyOf(service.name(), chunk));
        return row == null ? ChunkRow.vacant(service, chunk) : (ChunkRow) row.value();
    }

    /**
     * Finds who owns a slice.
     *
     * @param slice the slice, of a service that exists
     * @return the grant as it is known
     */
    public SliceGrant grant(SliceId slice) {
        ServiceSettings service = Objects.requireNonNull(services.get(slice.service()), "service");
        int chunk = service.chunkOf(slice.number());
        return chunk(service, chunk).grants().get(slice.number() - chunk * service.chunkSlices());
    }

    /**
     * Lists the grants of all slices of a service.
     *
     * @param service the service's settings
     * @return the grants by slice number
     */
    public List<SliceGrant> grants(ServiceSettings service) {
        List<SliceGrant> grants = new ArrayList<>(service.slices());
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            grants.addAll(chunk(service, chunk).grants());
        }
        return grants;
    }

    /**
     * Tells whether a member's incarnation is known to have ended.
     *
     * @param id the member
     * @return whether its row says so
     */
    public boolean ended(MemberId id) {
        MemberRow member = members.get(id);
        return member != null && member.status().over();
    }
}
