/** Follows tables of the store: reads all rows once, then makes calls that wait for changes (long polls). */
package org.verbenamast.core.watch;
