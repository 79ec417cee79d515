/** The controller's part: which engine holds which model and adapter, and the orders for it. */
package org.cornelway.models;
