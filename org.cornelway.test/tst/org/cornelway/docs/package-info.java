/** Tests that the pages say what the code says. */
package org.cornelway.docs;
