/** Rows of the platform's store in decoded form, and the calls that read and write them. */
package org.verbenamast.core.rows;
