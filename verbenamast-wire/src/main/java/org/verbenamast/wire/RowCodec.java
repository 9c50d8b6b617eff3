package org.verbenamast.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.RowVersion;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.TableName;
import org.verbenamast.wire.generated.BucketVersions;
import org.verbenamast.wire.generated.RowPush;
import org.verbenamast.wire.generated.RowRequest;

/** Maps rows and their versions to protobuf and back. */
final class RowCodec {

    private RowCodec() {}

    static RowPush encode(PeerMessage.RowPush push) {
        RowPush.Builder builder = RowPush.newBuilder();
        push.rows().forEach(row -> builder.addRows(encode(row)));
        return builder.build();
    }

    /** Reads rows; those that can't be read are left out and their faults noted. */
    static PeerMessage.RowPush decode(RowPush push, List<WireException> refused) {
        List<Row> rows = new ArrayList<>();
        for (org.verbenamast.wire.generated.Row row : push.getRowsList()) {
            try {
                rows.add(decode(row));
            } catch (WireException e) {
                refused.add(e);
            }
        }
        return new PeerMessage.RowPush(rows);
    }

    private static Row decode(org.verbenamast.wire.generated.Row row) throws WireException {
        return RowJson.read(
                row.getKey().getTable(),
                row.getKey().getId(),
                row.getVersion(),
                row.getValue().toByteArray());
    }

    static BucketVersions encode(PeerMessage.BucketVersions message) {
        BucketVersions.Builder builder = BucketVersions.newBuilder().addAllBuckets(message.buckets());
        message.versions().forEach(version -> builder.addVersions(encode(version)));
        return builder.build();
    }

    /** Reads versions; those of tables that this node does not know are left out and noted as faults. */
    static PeerMessage.BucketVersions decode(BucketVersions message, List<WireException> refused) {
        List<RowVersion> versions = new ArrayList<>();
        for (org.verbenamast.wire.generated.RowVersion version : message.getVersionsList()) {
            try {
                versions.add(new RowVersion(decode(version.getKey()), version.getVersion()));
            } catch (IllegalArgumentException e) {
                String key =
                        version.getKey().getTable() + "/" + version.getKey().getId();
                refused.add(WireException.shouldBeReadableRow(key, e.getMessage()));
            }
        }
        return new PeerMessage.BucketVersions(message.getBucketsList(), versions);
    }

    static RowRequest encode(PeerMessage.RowRequest message) {
        return RowRequest.newBuilder()
                .addAllKeys(PeerCodec.map(message.keys(), RowCodec::encode))
                .build();
    }

    static PeerMessage.RowRequest decode(RowRequest message) {
        return new PeerMessage.RowRequest(PeerCodec.map(message.getKeysList(), RowCodec::decode));
    }

    private static org.verbenamast.wire.generated.Row encode(Row row) {
        return org.verbenamast.wire.generated.Row.newBuilder()
                .setKey(encode(row.key()))
                .setVersion(row.version())
                .setValue(ByteString.copyFrom(RowJson.write(row.value())))
                .build();
    }

    private static org.verbenamast.wire.generated.RowVersion encode(RowVersion version) {
        return org.verbenamast.wire.generated.RowVersion.newBuilder()
                .setKey(encode(version.key()))
                .setVersion(version.version())
                .build();
    }

    private static org.verbenamast.wire.generated.RowKey encode(RowKey key) {
        return org.verbenamast.wire.generated.RowKey.newBuilder()
                .setTable(key.table().name())
                .setId(key.id())
                .build();
    }

    private static RowKey decode(org.verbenamast.wire.generated.RowKey key) {
        return new RowKey(TableName.valueOf(key.getTable()), key.getId());
    }
}
