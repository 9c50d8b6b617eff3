package org.verbenamast.wire;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;

/** The JSON form of small records that have a text form. */
final class TextForm {

    private TextForm() {}

    /**
     * Writes the text form.
     *
     * @param <T> the type of the record
     */
    static final class Writer<T> extends StdSerializer<T> {

        private static final long serialVersionUID = 1L;

        Writer(Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(T value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(value.toString());
        }
    }

    /**
     * Reads the text form.
     *
     * @param <T> the type of the record
     */
    static final class Reader<T> extends StdDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        Reader(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return parser.apply(in.getValueAsString());
        }
    }
}
