package org.verbenamast.wire;

import java.util.function.Function;

import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.verbenamast.core.table.ChangeId;
import org.verbenamast.core.table.ContentHash;
import org.verbenamast.core.table.Limit;
import org.verbenamast.core.table.MarkSubject;
import org.verbenamast.core.table.OperatorName;
import org.verbenamast.core.table.Organisation;
import org.verbenamast.core.table.ServerName;
import org.verbenamast.core.table.TableScope;

/** The text forms of the small records of the operators' table. */
final class TableForms {

    private TableForms() {}

    static Module module() {
        SimpleModule module = new SimpleModule("operators-table");
        add(module, ChangeId.class, ChangeId::new);
        add(module, ContentHash.class, ContentHash::new);
        add(module, Limit.class, Limit::parse);
        add(module, MarkSubject.class, MarkSubject::parse);
        add(module, OperatorName.class, OperatorName::new);
        add(module, Organisation.class, Organisation::new);
        add(module, ServerName.class, ServerName::new);
        add(module, TableScope.class, TableScope::parse);
        return module;
    }

    private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(new TextForm.Writer<>(type));
        module.addDeserializer(type, new TextForm.Reader<>(type, parser));
    }
}
