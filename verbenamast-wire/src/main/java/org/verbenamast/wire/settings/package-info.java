/** Settings files in JSON, read with all faults reported at once. */
package org.verbenamast.wire.settings;
